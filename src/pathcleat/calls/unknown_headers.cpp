// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/unknown_headers.hpp"

#include <boost/algorithm/string/case_conv.hpp>

namespace pathcleat {
namespace {

using boost::algorithm::to_lower_copy;

// Header fields of answers that HTTP defines (RFC 9110 to 9112).
std::set<std::string> HttpFields() {
  return {"accept-ranges",
          "age",
          "allow",
          "cache-control",
          "connection",
          "content-encoding",
          "content-language",
          "content-length",
          "content-range",
          "content-type",
          "date",
          "etag",
          "expires",
          "keep-alive",
          "last-modified",
          "location",
          "retry-after",
          "server",
          "set-cookie",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "vary",
          "via",
          "www-authenticate"};
}

}  // namespace

UnknownHeaders::UnknownHeaders(const HeaderNames& names)
    : seen_names_(HttpFields()) {
  for (const std::string& name :
       {names.request_id, names.upstream_id, names.load, names.rate_limit,
        names.leaving, names.not_run, names.cold_ms, names.signature}) {
    seen_names_.insert(to_lower_copy(name));
  }
}

HttpHeaders UnknownHeaders::FindNew(const HttpHeaders& headers) {
  HttpHeaders found;
  for (const HttpHeader& header : headers) {
    if (seen_names_.size() < kMaxNames &&
        seen_names_.insert(to_lower_copy(header.name)).second) {
      found.push_back(header);
    }
  }
  return found;
}

}  // namespace pathcleat
