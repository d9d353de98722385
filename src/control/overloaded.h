// One function object made of several, for std::visit over a variant.
#pragma once

namespace gorsenotch {

template <class... Functions>
struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace gorsenotch
