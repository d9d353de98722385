// The umbrella header of earlier releases still provides the complete interface.
#include <gorsenotch/logic.h>

#include <type_traits>

static_assert(std::is_constructible_v<gorsenotch::Router, const gorsenotch::Settings&, std::uint64_t>);
static_assert(std::is_default_constructible_v<gorsenotch::Event>);
static_assert(std::is_default_constructible_v<gorsenotch::Action>);
