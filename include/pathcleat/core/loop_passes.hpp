// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Delay of the event loop from which on it counts as late: what lies
/// ready in the sockets is then older than most decisions allow for.
/// @ingroup core
inline constexpr Duration kLateLoop{500'000};

/// @brief Passes over the sockets after which a loop that was late has caught
/// up. One answer of a watch may take several reads, one each pass.
/// @ingroup core
inline constexpr int kCatchUpPasses = 4;

/// @brief Calls a function after the loop has looked at its sockets several
/// times and has run what was ready, without waiting for anything.
void RunAfterPasses(boost::asio::io_context& loop,
                    int passes,
                    std::function<void()> step);

}  // namespace pathcleat
