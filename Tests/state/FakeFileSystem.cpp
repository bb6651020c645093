#include "state/FakeFileSystem.h"

#include <algorithm>
#include <numeric>

namespace Knapweedquay {

class FakeFileSystem::Handle final : public AppendFile {
public:
    Handle(FakeFileSystem& owner, std::shared_ptr<File> file)
        : m_owner(owner)
        , m_file(std::move(file))
    {
    }

    Result<void> append(std::string_view bytes) override
    {
        BOOST_OUTCOME_TRYV(m_owner.countOperation("append"));
        return m_owner.append(*m_file, bytes);
    }

    Result<void> sync() override
    {
        BOOST_OUTCOME_TRYV(m_owner.countOperation("sync"));
        ++m_owner.m_syncs;
        m_file->syncedBytes = m_file->content.size();
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

private:
    FakeFileSystem& m_owner;
    std::shared_ptr<File> m_file;
};

Result<void> FakeFileSystem::countOperation(const char* name)
{
    if (m_operationsLeft == 0)
        return Error { ResultCode::StorageFailed, std::string(name) + ": input/output error" };
    if (m_operationsLeft != unlimited)
        --m_operationsLeft;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> FakeFileSystem::append(File& file, std::string_view bytes)
{
    const std::size_t fitting = std::min(bytes.size(), m_room);
    file.content += bytes.substr(0, fitting);
    if (m_room != unlimited)
        m_room -= fitting;
    if (fitting < bytes.size())
        return Error { ResultCode::StorageFailed, "append: no space left on device" };
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void FakeFileSystem::release(const std::string& path)
{
    const auto file = m_files.find(path);
    if (file != m_files.end() && m_room != unlimited)
        m_room += file->second->content.size();
}

Result<std::vector<std::string>> FakeFileSystem::list(const std::string& folder)
{
    BOOST_OUTCOME_TRYV(countOperation("list"));
    std::vector<std::string> names;
    for (const auto& [path, file] : m_files)
        if (path.compare(0, folder.size() + 1, folder + "/") == 0)
            names.push_back(path.substr(folder.size() + 1));
    return names;
}

Result<std::string> FakeFileSystem::read(const std::string& path)
{
    BOOST_OUTCOME_TRYV(countOperation("read"));
    const auto file = m_files.find(path);
    if (file == m_files.end())
        return Error { ResultCode::StorageFailed, path + ": no such file" };
    return file->second->content;
}

Result<std::unique_ptr<AppendFile>> FakeFileSystem::create(const std::string& path)
{
    BOOST_OUTCOME_TRYV(countOperation("create"));
    release(path);
    m_files[path] = std::make_shared<File>();
    return std::unique_ptr<AppendFile>(new Handle(*this, m_files[path]));
}

Result<std::unique_ptr<AppendFile>> FakeFileSystem::openToAppend(const std::string& path)
{
    BOOST_OUTCOME_TRYV(countOperation("open"));
    return std::unique_ptr<AppendFile>(new Handle(*this, m_files.at(path)));
}

Result<void> FakeFileSystem::rename(const std::string& from, const std::string& to)
{
    BOOST_OUTCOME_TRYV(countOperation("rename"));
    m_files[to] = m_files.at(from);
    m_files.erase(from);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> FakeFileSystem::remove(const std::string& path)
{
    BOOST_OUTCOME_TRYV(countOperation("remove"));
    release(path);
    m_files.erase(path);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> FakeFileSystem::syncFolder(const std::string&)
{
    BOOST_OUTCOME_TRYV(countOperation("sync of the folder"));
    m_syncedNames = m_files;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void FakeFileSystem::crash(std::mt19937_64& random)
{
    // Open handles of the crashed process keep referring to the old objects.
    Names survivors;
    for (const auto& [path, file] : random() % 2 == 0 ? m_files : m_syncedNames) {
        auto survivor = std::make_shared<File>(*file);
        const std::size_t unsynced = survivor->content.size() - survivor->syncedBytes;
        survivor->content.resize(survivor->syncedBytes + random() % (unsynced + 1));
        const std::size_t kept = survivor->content.size() - survivor->syncedBytes;
        if (kept > 0 && random() % 2 == 0)
            survivor->content[survivor->syncedBytes + random() % kept] ^= 0x40;
        survivor->syncedBytes = survivor->content.size();
        survivors[path] = std::move(survivor);
    }
    m_files = survivors;
    m_syncedNames = survivors;
    recover();
}

std::size_t FakeFileSystem::usedBytes() const
{
    return std::accumulate(m_files.begin(), m_files.end(), std::size_t { 0 }, [](std::size_t sum, const auto& entry) { return sum + entry.second->content.size(); });
}

void FakeFileSystem::loseDisk()
{
    m_files.clear();
    m_syncedNames.clear();
    recover();
}

} // namespace Knapweedquay
