// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/loop_passes.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace pathcleat {

// The loop polls its sockets before it runs a handler that was posted by the
// current one.
void RunAfterPasses(boost::asio::io_context& loop,
                    int passes,
                    std::function<void()> step) {
  boost::asio::post(loop, [&loop, passes, step = std::move(step)]() mutable {
    if (passes <= 1) {
      step();
      return;
    }
    RunAfterPasses(loop, passes - 1, std::move(step));
  });
}

}  // namespace pathcleat
