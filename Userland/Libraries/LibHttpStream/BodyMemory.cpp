#include <LibHttpStream/BodyMemory.h>

#include <algorithm>

namespace LibHttpStream
{

BodyMemory::BodyMemory(uint64_t limitBytes)
    : limitBytes(limitBytes)
{
}

void BodyMemory::setLimit(uint64_t bytes)
{
    this->limitBytes = bytes;
}

uint64_t BodyMemory::heldBytes() const
{
    return this->held;
}

BodyShare::BodyShare(BodyMemory &memory)
    : memory(memory)
{
}

BodyShare::~BodyShare()
{
    this->release();
}

void BodyShare::release()
{
    this->memory.held -= this->counted;
    this->size = 0;
    this->counted = 0;
}

bool BodyShare::grow(uint64_t bytes)
{
    const uint64_t newSize = this->size + bytes;
    const uint64_t newCounted = newSize - std::min(newSize, freeBytes);
    const uint64_t more = newCounted - this->counted;
    if (more > this->memory.limitBytes - std::min(this->memory.limitBytes, this->memory.held)) {
        return false;
    }
    this->memory.held += more;
    this->size = newSize;
    this->counted = newCounted;
    return true;
}

} // namespace LibHttpStream
