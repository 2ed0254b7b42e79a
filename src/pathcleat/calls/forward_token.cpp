// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/forward_token.hpp"

#include <cereal/types/string.hpp>
#include <string_view>

#include "pathcleat/core/base64.hpp"
#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/mac.hpp"

namespace pathcleat {
namespace {

std::string Content(const HttpRequest& request) {
  return "\n" + request.method + " " + request.target + "\n" + request.body;
}

std::size_t MacBytes(const std::string& key) {
  return AppendMac("", key).size();
}

}  // namespace

std::string MakeForwardToken(const ForwardContext& context,
                             const HttpRequest& request,
                             const std::string& key) {
  const std::string encoded = EncodeBinary(context);
  const std::string content = Content(request);
  const std::string sealed = AppendMac(encoded + content, key);
  return ToBase64(encoded + sealed.substr(encoded.size() + content.size()));
}

std::optional<ForwardContext> ReadForwardToken(const std::string& token,
                                               const HttpRequest& request,
                                               const std::string& key) {
  const auto bytes = FromBase64(token);
  if (!bytes || key.empty() || bytes->size() < MacBytes(key)) {
    return std::nullopt;
  }
  const std::size_t encoded_bytes = bytes->size() - MacBytes(key);
  const std::string encoded = bytes->substr(0, encoded_bytes);
  if (!VerifyMac(encoded + Content(request) + bytes->substr(encoded_bytes),
                 key)) {
    return std::nullopt;
  }
  return DecodeBinary<ForwardContext>(encoded);
}

}  // namespace pathcleat
