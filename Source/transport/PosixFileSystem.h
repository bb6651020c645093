#pragma once

#include "state/FileSystem.h"

namespace Knapweedquay {

/// The file system of this machine. sync() returns once the operating system reports that the bytes are on the disk.
class PosixFileSystem final : public FileSystem {
public:
    Result<std::vector<std::string>> list(const std::string& folder) override;
    Result<std::string> read(const std::string& path) override;
    Result<std::unique_ptr<AppendFile>> create(const std::string& path) override;
    Result<std::unique_ptr<AppendFile>> openToAppend(const std::string& path) override;
    Result<void> rename(const std::string& from, const std::string& to) override;
    Result<void> remove(const std::string& path) override;
    Result<void> syncFolder(const std::string& folder) override;
};

/// Exclusive lock on a data folder, held until destruction, so that no two processes use the folder.
class FolderLock {
public:
    /// Creates the folder if necessary and locks it. Errors: StorageFailed when the folder cannot be used or another
    /// process holds the lock.
    static Result<std::unique_ptr<FolderLock>> acquire(const std::string& folder);
    ~FolderLock();
    FolderLock(const FolderLock&) = delete;
    FolderLock& operator=(const FolderLock&) = delete;

private:
    explicit FolderLock(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    int m_descriptor;
};

} // namespace Knapweedquay
