// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/forward_token.hpp"

#include <cereal/types/string.hpp>
#include <string_view>

#include "pathcleat/core/base64.hpp"
#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/core/mac.hpp"
#include "pathcleat/core/outside_bounds.hpp"

namespace pathcleat {
namespace {

std::int64_t ClampMicros(std::int64_t micros) {
  return ClampOutside(Duration(micros)).count();
}

std::string MacOfRequest(const std::string& context,
                         const HttpRequest& request,
                         const std::string& key) {
  return MacOf({context, "\n", request.method, " ", request.target, "\n",
                request.body.view()},
               key);
}

}  // namespace

std::string MakeForwardToken(const ForwardContext& context,
                             const HttpRequest& request,
                             const std::string& key) {
  const std::string encoded = EncodeBinary(context);
  return ToBase64(encoded + MacOfRequest(encoded, request, key));
}

std::optional<ForwardContext> ReadForwardToken(const std::string& token,
                                               const HttpRequest& request,
                                               const std::string& key) {
  const auto bytes = FromBase64(token);
  const std::size_t mac_bytes = MacOf({}, key).size();
  if (!bytes || key.empty() || bytes->size() < mac_bytes) {
    return std::nullopt;
  }
  const std::size_t encoded_bytes = bytes->size() - mac_bytes;
  const std::string encoded = bytes->substr(0, encoded_bytes);
  if (!AreSecretsEqual(bytes->substr(encoded_bytes),
                       MacOfRequest(encoded, request, key))) {
    return std::nullopt;
  }
  auto context = DecodeBinary<ForwardContext>(encoded);
  if (context) {
    context->caller_timeout_us = ClampMicros(context->caller_timeout_us);
    context->time_left_us = ClampMicros(context->time_left_us);
    context->attempts_left = ClampOutside(context->attempts_left);
  }
  return context;
}

}  // namespace pathcleat
