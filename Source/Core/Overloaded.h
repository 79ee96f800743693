#pragma once

namespace jacinthroad {

/// Builds one visitor out of several lambdas for std::visit.
template <typename... Lambdas> struct Overloaded : Lambdas...
{
    using Lambdas::operator()...;
};

template <typename... Lambdas> Overloaded(Lambdas...) -> Overloaded<Lambdas...>;

} // namespace jacinthroad
