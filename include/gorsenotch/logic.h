// The complete public interface in one header. New code includes the parts that it needs.
#pragma once

#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/router.h"
#include "gorsenotch/settings.h"
