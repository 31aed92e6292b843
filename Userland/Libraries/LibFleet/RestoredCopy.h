#pragma once

#include <AK/Clock.h>
#include <LibFleet/ObjectFeed.h>
#include <deque>

namespace LibFleet
{

/// Objects that a restored store has lost are written again, or have gone, within this time after the process learned of the restore, in ms.
inline constexpr AK::Milliseconds restoredCopyGrace = 5'000;

/// What a process knew of the objects of one kind, for the time after the store has come back from an older copy. The copy is no news: until an object is
/// written again or the grace is over, an object that the copy lacks stays in force, and one that the copy has in a state known to be out of date stays as it
/// was, in force or not. Load pattern: evacuations, leases and configurations of the last seconds before the restore vanish, and removed ones come back.
class RestoredCopy
{
public:
    /// Must be called before `page` changes `snapshot`. `complete`: objects that the page lacks are removed. Remembers the states that it replaces.
    void recordReplaced(const ObjectSnapshot &snapshot, const ObjectPage &page, bool complete, AK::Milliseconds now);

    /// The store has come back from a copy; `inForce` was in force. `position` is the first one known of the new era.
    void storeRestored(std::map<std::string, std::string> inForce, StorePosition position, AK::Milliseconds now, AK::Milliseconds grace);

    /// Takes over what another process keeps in force against the copy, and what it keeps out of force, according to the marks of the objects in `page`. Each
    /// state is taken over once: processes that repeat each other's marks would otherwise keep it for as long as objects change. It ends with the grace of the
    /// other process, or after `grace` if that is unknown.
    void adopt(const ObjectPage &page, AK::Milliseconds now, AK::Milliseconds grace);

    /// Nothing that is kept after other processes stays in force. Returns whether there was any.
    bool dropAdopted(AK::Milliseconds now);

    /// The object has been removed in the new history.
    void forget(const std::string &name);

    /// Whether what this process keeps itself against a restored copy is still in its grace.
    bool withinGrace(AK::Milliseconds now) const;

    /// What is left of the grace of an object that is kept, or of one that is kept out of force, in ms.
    AK::Milliseconds keptLeft(const std::string &name, AK::Milliseconds now) const;
    AK::Milliseconds unusedLeft(const std::string &name, AK::Milliseconds now) const;

    /// Objects to be in force when the store holds `snapshot`.
    std::map<std::string, std::string> merge(const ObjectSnapshot &snapshot, AK::Milliseconds now);

private:
    struct ReplacedState {
        int64_t revision = 0;
        uint64_t specHash = 0;
        AK::Milliseconds replacedAt = 0;
    };

    struct KeptObject {
        std::string spec;
        AK::Milliseconds endsAt = 0;
    };

    /// A state that this process has kept, by itself or after another one.
    struct Mark {
        uint64_t specHash = 0;
        AK::Milliseconds since = 0;
    };
    using Marks = std::map<std::string, Mark>;

    /// Returns whether the state of the object has not been marked before.
    static bool addMark(Marks &marks, const std::string &name, const std::string &spec, AK::Milliseconds now);
    void recordReplaced(const std::string &name, const ObjectSnapshot &snapshot, AK::Milliseconds now);
    bool isOutOfUse(const std::string &name, int64_t revision, const std::string &spec, AK::Milliseconds now) const;
    bool isReplaced(const std::string &name, int64_t revision, const std::string &spec) const;
    void forgetOldStates(AK::Milliseconds now);

    std::map<std::string, std::deque<ReplacedState>> replaced;
    AK::Milliseconds forgottenAt = 0;
    /// Objects that stay in force though the store lacks them, or has them in another state.
    std::map<std::string, KeptObject> known;
    StorePosition copy;
    /// Until then all states that are known to be out of date stay out of force; the marked ones of other processes until the time of each.
    AK::Milliseconds endsAt = 0;
    std::map<std::string, AK::Milliseconds> unusedUntil;
    Marks lapsedMarks;
    Marks outOfDateMarks;
};

} // namespace LibFleet
