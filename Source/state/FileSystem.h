#pragma once

#include "protocol/Result.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// File opened for appending. Appended bytes are durable once sync() has succeeded.
class AppendFile {
public:
    AppendFile() = default;
    AppendFile(const AppendFile&) = delete;
    AppendFile& operator=(const AppendFile&) = delete;
    virtual ~AppendFile() = default;

    /// Error: StorageFailed.
    virtual Result<void> append(std::string_view) = 0;
    /// Error: StorageFailed. After a failure it is unknown which bytes are durable, so the call must not be retried.
    virtual Result<void> sync() = 0;
};

/// File operations of the storage, as an interface so that tests can inject lost, torn and failing writes.
///
/// Paths include the folder. Every error is StorageFailed with the operation, the path and the reason from the
/// operating system.
class FileSystem {
public:
    FileSystem() = default;
    FileSystem(const FileSystem&) = delete;
    FileSystem& operator=(const FileSystem&) = delete;
    virtual ~FileSystem() = default;

    /// Names of the files in a folder. The folder is created if it does not exist.
    virtual Result<std::vector<std::string>> list(const std::string& folder) = 0;
    virtual Result<std::string> read(const std::string& path) = 0;
    /// Creates a file, or truncates an existing one.
    virtual Result<std::unique_ptr<AppendFile>> create(const std::string& path) = 0;
    virtual Result<std::unique_ptr<AppendFile>> openToAppend(const std::string& path) = 0;
    virtual Result<void> rename(const std::string& from, const std::string& to) = 0;
    virtual Result<void> remove(const std::string& path) = 0;
    /// Creations, renames and removals in the folder are durable once this has succeeded.
    virtual Result<void> syncFolder(const std::string& folder) = 0;
};

} // namespace Knapweedquay
