#include "Node/Node.h"

#include <utility>

#include "Node/NodeParts.h"

namespace jacinthroad {

Node::Node(std::unique_ptr<NodeParts> parts)
    : parts_(std::move(parts))
{ }

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::start(NodeSettings settings)
{
    auto parts = std::make_unique<NodeParts>(std::move(settings));
    if (auto started = parts->start(); !started.has_value()) {
        return tl::make_unexpected(started.error());
    }
    return std::unique_ptr<Node>(new Node(std::move(parts)));
}

bool Node::drain(Duration patience)
{
    return parts_->drain(patience);
}

bool Node::drainRequested() const
{
    return parts_->draining();
}

std::uint16_t Node::callerPort() const
{
    return parts_->callerPort();
}

std::uint16_t Node::operatorPort() const
{
    return parts_->operatorPort();
}

std::string Node::peerAddress() const
{
    return parts_->peerAddress();
}

bool Node::ready() const
{
    return parts_->ready();
}

NodeFigures Node::figures() const
{
    return parts_->figures();
}

} // namespace jacinthroad
