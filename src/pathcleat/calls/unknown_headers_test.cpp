// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/unknown_headers.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

Test(unknown_fields, are_told_once_and_known_ones_never) {
  HeaderNames names;
  UnknownHeaders fields(names);
  const HttpHeaders answer = {{"Content-Length", "3"},
                              {names.load, "1,2,3"},
                              {"X-Novel", "7"},
                              {"x-novel", "8"}};
  const HttpHeaders first = fields.FindNew(answer);
  cr_assert_eq(first.size(), 1U);
  cr_assert_eq(first.front().name, std::string("X-Novel"));
  cr_assert_eq(first.front().value, std::string("7"));
  cr_assert(fields.FindNew(answer).empty());
}

// A peer that makes up names must not fill the memory.
Test(unknown_fields, are_bounded) {
  UnknownHeaders fields{HeaderNames()};
  std::size_t told = 0;
  for (int i = 0; i < 1'000; ++i) {
    told += fields.FindNew({{"X-" + std::to_string(i), ""}}).size();
  }
  cr_assert_lt(told, 128U);
}

}  // namespace
}  // namespace pathcleat
