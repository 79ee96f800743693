#include "Gateway/ReadTurns.h"

#include <algorithm>

#include <boost/asio/post.hpp>

namespace jacinthroad {

void ReadTurns::add(PacedSocket &socket)
{
    ++pacedReads_;
    waiting_.push_back(&socket);
    grantLater();
}

void ReadTurns::remove(PacedSocket &socket)
{
    std::erase(waiting_, &socket);
}

void ReadTurns::grantLater()
{
    if (!posted_) {
        posted_ = true;
        boost::asio::post(context_, [self = shared_from_this()] { self->grantOne(); });
    }
}

void ReadTurns::grantOne()
{
    posted_ = false;
    if (waiting_.empty()) {
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    const auto next = std::min_element(
        waiting_.begin(), waiting_.end(), [now](const PacedSocket *left, const PacedSocket *right) {
            return left->allowance_.used(now) < right->allowance_.used(now);
        });
    PacedSocket &socket = **next;
    waiting_.erase(next);
    if (!waiting_.empty()) {
        grantLater();
    }
    socket.grant();
}

bool PacedSocket::mustWait()
{
    if (!exceedsAllowance()) {
        return false;
    }
    waits_ = true;
    granted_ = false;
    turn_.expires_at(Instant::max());
    turns_->add(*this);
    return true;
}

void PacedSocket::note(std::size_t bytes, std::size_t bufferBytes)
{
    allowance_.note(bytes, std::chrono::steady_clock::now());
    lastReadBytes_ = bytes;
    readBytes_ += bytes;
    filledBuffer_ = bytes > 0 && bytes == bufferBytes;
}

void PacedSocket::grant()
{
    waits_ = false;
    granted_ = true;
    turn_.cancel();
}

void PacedSocket::cancelWait()
{
    if (waits_) {
        waits_ = false;
        turns_->remove(*this);
        turn_.cancel();
    }
}

} // namespace jacinthroad
