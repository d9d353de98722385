// One function object from several, for std::visit.
#pragma once

namespace gorsenotch {

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace gorsenotch
