// Combines several function objects into one overload set, for std::visit over a variant.
#pragma once

namespace gorsenotch {

// Callable with the arguments of any of `Functions`.
template <class... Functions>
struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace gorsenotch
