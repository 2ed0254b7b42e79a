// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/calls/header_names.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief Finds header fields of upstreams' answers that are defined neither by
/// HTTP nor by the adapter: data that upstreams send and hosts ignore. Not
/// thread-safe.
/// @ingroup calls
class UnknownHeaders {
 public:
  explicit UnknownHeaders(const HeaderNames& names);

  /// @brief Returns the unknown fields of an answer, each name once per
  /// process.
  HttpHeaders FindNew(const HttpHeaders& headers);

 private:
  static constexpr std::size_t kMaxNames = 128;

  std::set<std::string> seen_names_;  ///< lower case; known names included
};

}  // namespace pathcleat
