// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/log_writer.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kCapacity = 8'000;

struct Pipe {
  Pipe() { cr_assert_eq(pipe(ends.data()), 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string ReadAll() {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> chunk{};
    for (ssize_t received = 0;
         (received = read(ends[0], chunk.data(), chunk.size())) > 0;) {
      text.append(chunk.data(), static_cast<std::size_t>(received));
    }
    return text;
  }
  std::array<int, 2> ends{};
};

// Guards against a log reader that stops reading and blocks the event loop.
// Fails without the poll in Flush (the write blocks forever).
Test(log_writer, stalled_reader_drops_lines_but_does_not_block) {
  Pipe pipe;
  boost::asio::io_context loop;
  LogWriter writer(loop, pipe.ends[1], kCapacity);
  LogCounts reported{};
  writer.OnDropped([&](const LogCounts& dropped) { reported = dropped; });
  const std::string line(100, 'x');
  // The lines are far more than the pipe and the buffer can store.
  for (int i = 0; i < 10'000; ++i) {
    writer.Write(LogClass::kRequest, line);
    writer.Flush();
  }
  cr_assert_gt(writer.dropped()[0], 0U);
  writer.Write(LogClass::kState, "a state change is buffered");
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += pipe.ReadAll();
    writer.Flush();
  }
  cr_assert_neq(text.find("a state change is buffered\n"), std::string::npos);
  cr_assert_eq(reported[0], writer.dropped()[0]);
  cr_assert_eq(reported[2], 0U);
}

Test(log_buffer,
     lines_stay_whole_and_in_order_and_lower_classes_are_dropped_first) {
  cr_assert(Holds("any lines, any pieces", [] {
    LogBuffer buffer(500);
    std::string expected;
    std::string received;
    LogCounts dropped{};
    const int steps = *rc::gen::inRange(0, 200);
    for (int i = 0; i < steps; ++i) {
      if (*rc::gen::inRange(0, 3) == 0) {
        const auto chunk = buffer.Front(*rc::gen::inRange(1, 90));
        received += chunk;
        buffer.Pop(chunk.size());
        continue;
      }
      const auto index = *rc::gen::inRange<std::size_t>(0, kLogClassCount);
      const std::string line(*rc::gen::inRange(0, 60), char('a' + index));
      const std::size_t before = buffer.size();
      buffer.Push(static_cast<LogClass>(index), line);
      if (buffer.size() > before) {
        expected += line + "\n";
        RC_ASSERT(buffer.size() <= 500U);
      } else {
        ++dropped[index];
        const bool request_or_full = index == 0 || before + line.size() >= 375;
        RC_ASSERT(request_or_full);
      }
    }
    received += buffer.Front(500);
    RC_ASSERT(received == expected);
    RC_ASSERT(dropped == buffer.dropped());
  }));
}

}  // namespace
}  // namespace pathcleat
