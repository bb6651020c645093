#pragma once

#include "protocol/Result.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// A file that only grows. Bytes last once sync() has succeeded.
class AppendFile {
public:
    AppendFile() = default;
    AppendFile(const AppendFile&) = delete;
    AppendFile& operator=(const AppendFile&) = delete;
    virtual ~AppendFile() = default;

    /// Error: StorageFailed.
    virtual Result<void> append(std::string_view) = 0;
    /// Error: StorageFailed. After a failure it is unknown which bytes last, so nobody may retry.
    virtual Result<void> sync() = 0;
};

/// The file operations that the storage needs, so that tests can lose, tear and refuse them.
///
/// Paths are whole. Every error is StorageFailed with the operation, the path and the system's reason.
class FileSystem {
public:
    FileSystem() = default;
    FileSystem(const FileSystem&) = delete;
    FileSystem& operator=(const FileSystem&) = delete;
    virtual ~FileSystem() = default;

    /// Names of the files in a folder; the folder is created when it is not there.
    virtual Result<std::vector<std::string>> list(const std::string& folder) = 0;
    virtual Result<std::string> read(const std::string& path) = 0;
    /// Creates the file, or empties it.
    virtual Result<std::unique_ptr<AppendFile>> create(const std::string& path) = 0;
    virtual Result<std::unique_ptr<AppendFile>> openToAppend(const std::string& path) = 0;
    virtual Result<void> rename(const std::string& from, const std::string& to) = 0;
    virtual Result<void> remove(const std::string& path) = 0;
    /// Creations, renames and removals in the folder last once this has succeeded.
    virtual Result<void> syncFolder(const std::string& folder) = 0;
};

} // namespace Knapweedquay
