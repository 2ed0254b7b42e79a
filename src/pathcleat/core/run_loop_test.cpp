// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/run_loop.hpp"

#include <criterion/criterion.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/nullappender.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <new>
#include <stdexcept>

namespace pathcleat {
namespace {

struct LoopFixture {
  log4cplus::Initializer logging;
  boost::asio::io_context loop{1};
  EventLog events{"host", 100};
  HandlerFailures failures{events};

  LoopFixture() {
    log4cplus::Logger::getRoot().addAppender(
        log4cplus::SharedAppenderPtr(new log4cplus::NullAppender));
  }
  std::uint64_t CountAtLoop() const {
    return failures.counts().at(
        static_cast<std::size_t>(EntryPoint::kEventLoop));
  }
};

// Guards against an exception of one handler that ends the process with all its
// connections. Fails with loop.run() in place of RunLoop.
Test(run_loop, handlers_after_an_exception_run) {
  LoopFixture fixture;
  bool ran = false;
  boost::asio::post(fixture.loop, [] { throw std::runtime_error("injected"); });
  boost::asio::post(fixture.loop, [] { throw std::bad_alloc(); });
  boost::asio::post(fixture.loop, [] { throw 7; });
  boost::asio::post(fixture.loop, [&ran] { ran = true; });
  RunLoop(fixture.loop, fixture.failures);
  cr_assert(ran);
  cr_assert_eq(fixture.CountAtLoop(), 3U);
  const auto events = fixture.events.Snapshot();
  cr_assert_eq(events.size(), 3U);
  cr_assert_eq(events.front().code, EventCode::kHandlerFailed);
  cr_assert_str_eq(events.front().text.c_str(), "injected");
}

// Guards against a handler that throws each time and then uses up a processor
// and the log. Fails without the pause (the handler runs for most of the turns
// that the time allows).
Test(run_loop, handler_that_always_throws_is_slowed_down) {
  LoopFixture fixture;
  constexpr std::chrono::milliseconds kTime{600};
  constexpr std::uint64_t kMaxFailures = 40;
  std::function<void()> fail = [&] {
    boost::asio::post(fixture.loop, fail);
    throw std::runtime_error("injected");
  };
  boost::asio::post(fixture.loop, fail);
  boost::asio::steady_timer stop(fixture.loop, kTime);
  stop.async_wait(
      [&fixture](const boost::system::error_code&) { fixture.loop.stop(); });
  RunLoop(fixture.loop, fixture.failures);
  cr_assert_gt(fixture.CountAtLoop(), 1U);
  cr_assert_lt(fixture.CountAtLoop(), kMaxFailures);
  cr_assert_leq(fixture.events.Snapshot().size(), 10U);
}

}  // namespace
}  // namespace pathcleat
