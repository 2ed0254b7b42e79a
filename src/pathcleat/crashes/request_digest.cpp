// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/request_digest.hpp"

#include <array>
#include <charconv>
#include <cstring>
#include <string>

namespace pathcleat {
namespace {

// The length before each part distinguishes sequences of parts that concatenate
// to the same bytes.
void Append(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

}  // namespace

RequestDigest DigestOf(const HttpRequest& request,
                       std::string_view account,
                       const KeyedHasher& hasher) {
  std::string text;
  Append(text, request.method);
  Append(text, FindHeader(request.headers, "Host").value_or(""));
  Append(text, request.target);
  Append(text, account);
  // The digest of the body is appended instead of the body, so that a large
  // body is not copied.
  const KeyedDigest body = hasher.Digest(request.body);
  text.append(body.begin(), body.end());
  const KeyedDigest digest = hasher.Digest(text);
  RequestDigest first_half = 0;
  std::memcpy(&first_half, digest.data(), sizeof first_half);
  return first_half;
}

std::string ToText(RequestDigest digest) {
  constexpr int kHexadecimal = 16;
  std::array<char, kHexadecimal> text{};
  char* end = text.data() + text.size();
  const auto written = std::to_chars(text.data(), end, digest, kHexadecimal);
  return {text.data(), written.ptr};
}

}  // namespace pathcleat
