// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/query_text.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

namespace pathcleat {

std::optional<std::string> QueryValue(std::string_view target,
                                      std::string_view name) {
  const auto url =
      boost::urls::parse_origin_form({target.data(), target.size()});
  if (!url) {
    return std::nullopt;
  }
  const auto parameters = url->params();
  const auto found = parameters.find({name.data(), name.size()});
  if (found == parameters.end()) {
    return std::nullopt;
  }
  return std::string((*found).value);
}

std::string EncodeQueryText(std::string_view text) {
  return boost::urls::encode({text.data(), text.size()},
                             boost::urls::unreserved_chars);
}

}  // namespace pathcleat
