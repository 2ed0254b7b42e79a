// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>

#include "pathcleat/core/handler_failures.hpp"

namespace pathcleat {

/// @brief Runs an event loop until it is stopped or has no more work, and
/// contains what leaves its handlers: the last error boundary. If exceptions
/// follow each other at once, the loop pauses longer after each one, up to
/// 0.1 s, so that a handler that always throws does not use up a processor.
/// @ingroup core
void RunLoop(boost::asio::io_context& loop, HandlerFailures& failures);

}  // namespace pathcleat
