// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/unknown_headers.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

Test(unknown_headers, are_reported_once_and_known_ones_never) {
  HeaderNames names;
  UnknownHeaders finder(names);
  const HttpHeaders answer = {{"Content-Length", "3"},
                              {names.load, "1,2,3"},
                              {"X-Novel", "7"},
                              {"x-novel", "8"}};
  const HttpHeaders first = finder.FindNew(answer);
  cr_assert_eq(first.size(), 1U);
  cr_assert_eq(first.front().name, std::string("X-Novel"));
  cr_assert_eq(first.front().value, std::string("7"));
  cr_assert(finder.FindNew(answer).empty());
}

// Guards against unbounded memory if an upstream sends ever new field names.
Test(unknown_headers, are_bounded) {
  UnknownHeaders finder{HeaderNames()};
  std::size_t reported = 0;
  for (int i = 0; i < 1'000; ++i) {
    reported += finder.FindNew({{"X-" + std::to_string(i), ""}}).size();
  }
  cr_assert_lt(reported, 128U);
}

}  // namespace
}  // namespace pathcleat
