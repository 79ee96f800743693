// The allocation functions of the program and of the libraries that it loads. Starting an
// asynchronous operation in a coroutine can't fail for lack of memory without ending the process,
// so that small allocations use the reserve before they fail.

#include <algorithm>
#include <cstdlib>
#include <new>

#include "Core/MemoryReserve.h"

void *operator new(std::size_t size)
{
    for (;;) {
        void *const memory = std::malloc(std::max<std::size_t>(size, 1));
        if (memory != nullptr) {
            return memory;
        }
        if (size > jacinthroad::ReserveAllocationBytes || !jacinthroad::releaseReservedMemory()) {
            throw std::bad_alloc();
        }
    }
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
