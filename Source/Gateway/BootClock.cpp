#include "Gateway/BootClock.h"

#include <ctime>

namespace jacinthroad {

BootInstant bootNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return { std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec) };
}

} // namespace jacinthroad
