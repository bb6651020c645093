#include "transport/PosixFileSystem.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace Knapweedquay {

namespace {

constexpr int filePermissions = 0640;

Error storageError(const std::string& operation, const std::string& path, const std::string& reason)
{
    return Error { ResultCode::StorageFailed, operation + " " + path + ": " + reason };
}

// The reason is the one in errno.
Error systemError(const std::string& operation, const std::string& path)
{
    return storageError(operation, path, std::generic_category().message(errno));
}

// Owns a file descriptor and closes it on destruction.
class Descriptor {
public:
    Descriptor(const std::string& path, int flags)
        : m_descriptor(::open(path.c_str(), flags | O_CLOEXEC, filePermissions))
    {
    }
    ~Descriptor()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    int value() const { return m_descriptor; }

private:
    int m_descriptor;
};

/// An open file of the machine's file system, which is written only at its end.
class PosixAppendFile final : public AppendFile {
public:
    PosixAppendFile(std::string path, int flags)
        : m_path(std::move(path))
        , m_descriptor(m_path, flags)
    {
    }

    bool isOpen() const { return m_descriptor.isOpen(); }

    Result<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(m_descriptor.value(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return systemError("write", m_path);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> sync() override
    {
        if (::fdatasync(m_descriptor.value()) != 0)
            return systemError("sync", m_path);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

private:
    std::string m_path;
    Descriptor m_descriptor;
};

Result<std::unique_ptr<AppendFile>> openFile(const std::string& path, int flags)
{
    auto file = std::make_unique<PosixAppendFile>(path, flags);
    if (!file->isOpen())
        return systemError("open", path);
    return std::unique_ptr<AppendFile>(std::move(file));
}

} // namespace

Result<std::vector<std::string>> PosixFileSystem::list(const std::string& folder)
{
    std::error_code error;
    if (std::filesystem::create_directories(folder, error)) {
        BOOST_OUTCOME_TRYV(syncFolder(std::filesystem::absolute(folder).parent_path().string()));
    }
    std::vector<std::string> names;
    std::filesystem::directory_iterator entry(folder, error);
    while (!error && entry != std::filesystem::directory_iterator()) {
        names.push_back(entry->path().filename().string());
        entry.increment(error);
    }
    if (error)
        return storageError("list", folder, error.message());
    return names;
}

Result<std::string> PosixFileSystem::read(const std::string& path)
{
    const Descriptor descriptor(path, O_RDONLY);
    if (!descriptor.isOpen())
        return systemError("open", path);
    constexpr std::size_t blockBytes = 65536;
    std::array<char, blockBytes> block {};
    std::string content;
    while (true) {
        const ssize_t length = ::read(descriptor.value(), block.data(), block.size());
        if (length < 0 && errno == EINTR)
            continue;
        if (length < 0)
            return systemError("read", path);
        if (length == 0)
            return content;
        content.append(block.data(), static_cast<std::size_t>(length));
    }
}

Result<std::unique_ptr<AppendFile>> PosixFileSystem::create(const std::string& path)
{
    return openFile(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
}

Result<std::unique_ptr<AppendFile>> PosixFileSystem::openToAppend(const std::string& path)
{
    return openFile(path, O_WRONLY | O_APPEND);
}

Result<void> PosixFileSystem::rename(const std::string& from, const std::string& to)
{
    if (::rename(from.c_str(), to.c_str()) != 0)
        return systemError("rename", from);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> PosixFileSystem::remove(const std::string& path)
{
    if (::unlink(path.c_str()) != 0)
        return systemError("remove", path);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> PosixFileSystem::syncFolder(const std::string& folder)
{
    const Descriptor descriptor(folder, O_RDONLY | O_DIRECTORY);
    if (!descriptor.isOpen() || ::fsync(descriptor.value()) != 0)
        return systemError("sync", folder);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<std::unique_ptr<FolderLock>> FolderLock::acquire(const std::string& folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const std::string path = folder + "/lock";
    const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, filePermissions);
    if (descriptor < 0)
        return systemError("open", path);
    std::unique_ptr<FolderLock> lock(new FolderLock(descriptor));
    if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0)
        return storageError("lock", path, "another process uses this folder");
    return lock;
}

FolderLock::~FolderLock()
{
    ::close(m_descriptor);
}

} // namespace Knapweedquay
