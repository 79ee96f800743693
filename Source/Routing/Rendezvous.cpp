#include "Routing/Rendezvous.h"

#include "Core/Hashing.h"

namespace jacinthroad {

std::uint64_t rendezvousScore(std::uint64_t key, std::uint64_t serverHash)
{
    return mix64(key, serverHash);
}

} // namespace jacinthroad
