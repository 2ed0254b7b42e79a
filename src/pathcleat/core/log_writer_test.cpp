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
    std::array<char, 4096> piece{};
    for (ssize_t got = 0;
         (got = read(ends[0], piece.data(), piece.size())) > 0;) {
      text.append(piece.data(), static_cast<std::size_t>(got));
    }
    return text;
  }
  std::array<int, 2> ends{};
};

// Checked to fail (it stands still for ever) without the poll in Flush.
Test(log_writer, reader_that_stands_still_costs_lines_and_no_time) {
  Pipe pipe;
  boost::asio::io_context loop;
  LogWriter writer(loop, pipe.ends[1], kCapacity);
  LogCounts told{};
  writer.OnDropped([&](const LogCounts& dropped) { told = dropped; });
  const std::string line(100, 'x');
  // Far more than the pipe and the buffer hold.
  for (int i = 0; i < 10'000; ++i) {
    writer.Write(LogClass::kRequest, line);
    writer.Flush();
  }
  cr_assert_gt(writer.dropped()[0], 0U);
  writer.Write(LogClass::kState, "a change of state finds room");
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += pipe.ReadAll();
    writer.Flush();
  }
  cr_assert_neq(text.find("a change of state finds room\n"), std::string::npos);
  cr_assert_eq(told[0], writer.dropped()[0]);
  cr_assert_eq(told[2], 0U);
}

Test(log_buffer, lines_come_out_whole_in_order_and_lower_classes_go_first) {
  cr_assert(Holds("any lines, any pieces", [] {
    LogBuffer buffer(500);
    std::string expected;
    std::string got;
    LogCounts dropped{};
    const int steps = *rc::gen::inRange(0, 200);
    for (int i = 0; i < steps; ++i) {
      if (*rc::gen::inRange(0, 3) == 0) {
        const auto piece = buffer.Front(*rc::gen::inRange(1, 90));
        got += piece;
        buffer.Pop(piece.size());
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
    got += buffer.Front(500);
    RC_ASSERT(got == expected);
    RC_ASSERT(dropped == buffer.dropped());
  }));
}

}  // namespace
}  // namespace pathcleat
