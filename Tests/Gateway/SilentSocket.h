#pragma once

#include <linux/filter.h>
#include <sys/socket.h>

namespace jacinthroad {

/// While it exists, the kernel discards every segment that arrives for a socket, as if the VM stood
/// still. Also for the connections that are accepted on it.
class SilentSocket
{
public:
    explicit SilentSocket(int socket)
        : socket_(socket)
    {
        sock_filter discardAll { .code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0 };
        const sock_fprog program { .len = 1, .filter = &discardAll };
        static_cast<void>(
            setsockopt(socket_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)));
    }
    ~SilentSocket()
    {
        const int unused = 0;
        static_cast<void>(
            setsockopt(socket_, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused)));
    }
    SilentSocket(const SilentSocket &) = delete;
    SilentSocket &operator=(const SilentSocket &) = delete;

private:
    int socket_;
};

} // namespace jacinthroad
