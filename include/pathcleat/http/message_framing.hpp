// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace pathcleat {

/// @brief Whether a message does not state clearly where its body ends: with
/// any transfer coding other than a single "chunked", with a length beside it,
/// or with more than one length.
/// @param fields the header of a message parsed by Beast.
/// @ingroup http
template <class Fields>
bool HasUnknownFraming(const Fields& fields) {
  namespace http = boost::beast::http;
  const auto codings = fields.equal_range(http::field::transfer_encoding);
  int count = 0;
  for (auto field = codings.first; field != codings.second; ++field) {
    ++count;
    if (!boost::beast::iequals(field->value(), "chunked")) {
      return true;
    }
  }
  const auto lengths = fields.count(http::field::content_length);
  return count > 1 || (count == 1 && lengths > 0) || lengths > 1;
}

}  // namespace pathcleat
