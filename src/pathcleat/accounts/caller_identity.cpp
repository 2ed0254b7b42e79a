// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/caller_identity.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <optional>
#include <string_view>

namespace pathcleat {
namespace {

constexpr std::string_view kHeaderName = "Authorization";
constexpr std::string_view kScheme = "Bearer ";
// Keys that are issued now have 20 characters. Bearer tokens of other kinds may
// have hundreds of characters.
constexpr std::size_t kMaxKeyLength = 1'024;

bool IsPrintable(char character) {
  return character > ' ' && character <= '~';
}

std::optional<std::string_view> ParseBearerKey(std::string_view value) {
  if (!boost::beast::iequals(value.substr(0, kScheme.size()), kScheme)) {
    return std::nullopt;
  }
  const std::string_view key = value.substr(kScheme.size());
  const bool printable = std::all_of(key.begin(), key.end(), IsPrintable);
  if (key.empty() || key.size() > kMaxKeyLength || !printable) {
    return std::nullopt;
  }
  return key;
}

}  // namespace

const char* ReasonOf(ApiKeyFault fault) {
  switch (fault) {
    case ApiKeyFault::kNone:
      return "none";
    case ApiKeyFault::kMissing:
      return "key_missing";
    case ApiKeyFault::kRepeated:
      return "key_repeated";
    case ApiKeyFault::kMalformed:
      return "key_malformed";
    case ApiKeyFault::kUnknown:
      return "key_unknown";
  }
  return "none";
}

CallerIdentity IdentifyCaller(const HttpHeaders& headers,
                              const AccountTable& accounts,
                              const KeyedHasher& hasher) {
  const HttpHeader* field = nullptr;
  for (const HttpHeader& header : headers) {
    if (!boost::beast::iequals(header.name, kHeaderName)) {
      continue;
    }
    if (field != nullptr) {
      return {nullptr, ApiKeyFault::kRepeated};
    }
    field = &header;
  }
  if (field == nullptr) {
    return {nullptr, ApiKeyFault::kMissing};
  }
  const auto key = ParseBearerKey(field->value);
  if (!key) {
    return {nullptr, ApiKeyFault::kMalformed};
  }
  auto account = accounts.FindByKey(hasher.Digest(*key));
  if (!account) {
    return {nullptr, ApiKeyFault::kUnknown};
  }
  return {std::move(account), ApiKeyFault::kNone};
}

}  // namespace pathcleat
