#include "ObjectTable.h"

#include <chrono>

namespace Fakes
{

std::optional<ObjectTable::Object> ObjectTable::newestLocked(const std::string &key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? std::nullopt : found->second.newest;
}

std::optional<ObjectTable::Object> ObjectTable::get(const std::string &key, bool previous) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects.find(key);
    if (found == this->objects.end()) {
        return std::nullopt;
    }
    return previous && found->second.previous ? found->second.previous : found->second.newest;
}

std::optional<ObjectTable::Object> ObjectTable::watch(const std::string &key, uint64_t version, AK::Milliseconds timeout)
{
    std::unique_lock lock(this->mutex);
    ++this->waiting;
    this->changed.wait_for(lock, std::chrono::milliseconds(timeout), [&] {
        const auto object = this->newestLocked(key);
        return this->closed || (object && object->version > version);
    });
    --this->waiting;
    return this->newestLocked(key);
}

std::vector<std::pair<std::string, ObjectTable::Object>> ObjectTable::list(const std::string &prefix, size_t limit) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::pair<std::string, Object>> found;
    for (auto entry = this->objects.lower_bound(prefix); entry != this->objects.end() && entry->first.starts_with(prefix) && found.size() < limit; ++entry) {
        if (entry->second.newest) {
            found.emplace_back(entry->first, *entry->second.newest);
        }
    }
    return found;
}

ObjectTable::ChangeResult ObjectTable::put(const std::string &key, std::optional<uint64_t> ifVersion, nlohmann::json value)
{
    const std::lock_guard lock(this->mutex);
    History &history = this->objects[key];
    if (ifVersion && !history.newest) {
        return {Change::Missing, 0};
    }
    if (ifVersion ? history.newest->version != *ifVersion : history.newest.has_value()) {
        return {Change::ConditionFailed, history.newest->version};
    }
    history.previous = std::move(history.newest);
    history.newest = Object{++this->lastVersion, std::move(value)};
    this->changed.notify_all();
    return {Change::Done, this->lastVersion};
}

ObjectTable::ChangeResult ObjectTable::remove(const std::string &key, uint64_t ifVersion)
{
    const std::lock_guard lock(this->mutex);
    const auto object = this->newestLocked(key);
    if (!object) {
        return {Change::Missing, 0};
    }
    if (object->version != ifVersion) {
        return {Change::ConditionFailed, object->version};
    }
    this->objects.erase(key);
    return {Change::Done, ++this->lastVersion};
}

size_t ObjectTable::waitingWatches() const
{
    const std::lock_guard lock(this->mutex);
    return this->waiting;
}

void ObjectTable::close()
{
    const std::lock_guard lock(this->mutex);
    this->closed = true;
    this->changed.notify_all();
}

} // namespace Fakes
