#pragma once

namespace jacinthroad {

/// Combines several lambdas into one visitor for std::visit.
template <typename... Lambdas> struct Overloaded : Lambdas...
{
    using Lambdas::operator()...;
};

template <typename... Lambdas> Overloaded(Lambdas...) -> Overloaded<Lambdas...>;

} // namespace jacinthroad
