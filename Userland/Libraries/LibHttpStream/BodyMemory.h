#pragma once

#include <cstdint>

namespace LibHttpStream
{

/// Bounds the memory that the message bodies of a process hold together. Limits on a single body do not: a hundred senders without end fill the memory with a
/// hundred bodies that are each just within their limit.
class BodyMemory
{
public:
    explicit BodyMemory(uint64_t limitBytes);

    /// Changes the limit. What is held beyond it stays.
    void setLimit(uint64_t bytes);

    /// Bytes that are held now.
    uint64_t heldBytes() const;

private:
    friend class BodyShare;

    uint64_t limitBytes;
    uint64_t held = 0;
};

/// What one body holds, until the object is destroyed.
class BodyShare
{
public:
    /// So much of a body is not counted, so that small messages pass while large ones hold all of the memory.
    static constexpr uint64_t freeBytes = 16'384;

    explicit BodyShare(BodyMemory &memory);
    ~BodyShare();
    BodyShare(const BodyShare &) = delete;
    BodyShare &operator=(const BodyShare &) = delete;

    /// Takes memory for further bytes of the body. Returns false, and takes nothing, when the limit does not allow it.
    bool grow(uint64_t bytes);

    /// Gives back what is held.
    void release();

private:
    BodyMemory &memory;
    uint64_t size = 0;
    uint64_t counted = 0;
};

} // namespace LibHttpStream
