// Umbrella header for the complete public interface. Prefer to include the individual headers in new code.
#pragma once

#include "gorsenotch/actions.h"
#include "gorsenotch/events.h"
#include "gorsenotch/router.h"
#include "gorsenotch/settings.h"
