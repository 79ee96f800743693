#include "Node/Node.h"

#include <utility>

#include "Node/NodeImpl.h"

namespace jacinthroad {

Node::Node(std::unique_ptr<NodeImpl> impl)
    : impl_(std::move(impl))
{ }

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::start(NodeSettings settings)
{
    auto impl = std::make_unique<NodeImpl>(std::move(settings));
    if (auto started = impl->start(); !started.has_value()) {
        return tl::make_unexpected(started.error());
    }
    return std::unique_ptr<Node>(new Node(std::move(impl)));
}

bool Node::drain(Duration drainTimeout)
{
    return impl_->drain(drainTimeout);
}

bool Node::drainRequested() const
{
    return impl_->draining();
}

std::uint16_t Node::callerPort() const
{
    return impl_->callerPort();
}

std::uint16_t Node::operatorPort() const
{
    return impl_->operatorPort();
}

std::string Node::peerAddress() const
{
    return impl_->peerAddress();
}

bool Node::ready() const
{
    return impl_->ready();
}

NodeStatistics Node::statistics() const
{
    return impl_->statistics();
}

} // namespace jacinthroad
