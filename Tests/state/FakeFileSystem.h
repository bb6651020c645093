#pragma once

#include "state/FileSystem.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace Knapweedquay {

/// In-memory file system that loses unsynced data when the machine crashes.
class FakeFileSystem final : public FileSystem {
public:
    Result<std::vector<std::string>> list(const std::string& folder) override;
    Result<std::string> read(const std::string& path) override;
    Result<std::unique_ptr<AppendFile>> create(const std::string& path) override;
    Result<std::unique_ptr<AppendFile>> openToAppend(const std::string& path) override;
    Result<void> rename(const std::string& from, const std::string& to) override;
    Result<void> remove(const std::string& path) override;
    Result<void> syncFolder(const std::string& folder) override;

    /// Loses or damages a random part of the unsynced data: the tails of files, single bytes, or changes in the folder.
    void crash(std::mt19937_64&);
    /// Removes all files.
    void loseDisk();
    /// Lets the given number of further operations succeed and all later ones fail.
    void failAfter(std::size_t operations) { m_operationsLeft = operations; }
    void recover() { m_operationsLeft = unlimited; }
    /// Leaves room for this many further bytes. A longer append writes those that fit and fails; a removal makes room.
    void fill(std::size_t room) { m_room = room; }
    void makeRoom() { m_room = unlimited; }
    /// Content of a file, which tests may damage.
    std::string& content(const std::string& path) { return m_files.at(path)->content; }
    /// Bytes of all files.
    std::size_t usedBytes() const;
    std::size_t syncCount() const { return m_syncs; }

private:
    /// A file, whose unsynced end may be lost or damaged in a crash.
    struct File {
        std::string content;
        /// Length of the part that survives a crash.
        std::size_t syncedBytes = 0;
    };
    class Handle;
    using Names = std::map<std::string, std::shared_ptr<File>>;

    static constexpr std::size_t unlimited = static_cast<std::size_t>(-1);

    /// Counts an operation, and fails it when failAfter() requires that.
    Result<void> countOperation(const char* name);
    /// Appends the bytes that there is room for.
    Result<void> append(File&, std::string_view);
    void release(const std::string& path);

    Names m_files;
    /// Files of the folder at its last sync.
    Names m_syncedNames;
    std::size_t m_operationsLeft = unlimited;
    std::size_t m_room = unlimited;
    std::size_t m_syncs = 0;
};

} // namespace Knapweedquay
