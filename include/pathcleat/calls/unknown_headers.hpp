// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/calls/header_names.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief Finds header fields of upstreams' answers that neither HTTP nor the
/// adapter knows: what an upstream tells, and no host reads. Not thread-safe.
/// @ingroup calls
class UnknownHeaders {
 public:
  explicit UnknownHeaders(const HeaderNames& names);

  /// @brief The unknown fields of an answer, each name once in a process.
  HttpHeaders FindNew(const HttpHeaders& headers);

 private:
  static constexpr std::size_t kMostNames = 128;

  std::set<std::string> seen_;  ///< lower case; known ones among them
};

}  // namespace pathcleat
