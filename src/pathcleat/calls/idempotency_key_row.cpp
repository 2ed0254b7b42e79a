// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/idempotency_key_row.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

#include "pathcleat/core/base64.hpp"
#include "pathcleat/core/mac.hpp"

namespace pathcleat {
namespace {

using nlohmann::json;

const char* NameOf(KeyState state) {
  switch (state) {
    case KeyState::kRunning:
      return "running";
    case KeyState::kFinished:
      return "finished";
    case KeyState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

constexpr std::string_view kDigestPurpose = "idempotency key";

bool IsUtf8(const std::string& text) {
  const std::string valid_part =
      json(text).dump(-1, ' ', false, json::error_handler_t::ignore);
  return json::parse(valid_part) == text;
}

// The status is 0 while the request runs.
constexpr std::uint64_t kMaxStatus = 999;

// A negative number or a fraction, which another writer may have left in the
// row, is none.
std::optional<std::uint64_t> UnsignedOf(const json& value) {
  return value.is_number_unsigned() ? std::optional(value.get<std::uint64_t>())
                                    : std::nullopt;
}

KeyState StateOf(const std::string& name) {
  if (name == NameOf(KeyState::kRunning)) {
    return KeyState::kRunning;
  }
  return name == NameOf(KeyState::kFinished) ? KeyState::kFinished
                                             : KeyState::kUnknown;
}

}  // namespace

// A key that is no UTF-8 cannot be part of a row's name, so its digest takes
// its place. All other keys stand in the name as they are.
std::string IdempotencyKeyRowName(const std::string& service,
                                  const std::string& key) {
  if (IsUtf8(key)) {
    return "key/" + service + "/" + key;
  }
  return "key-digest/" + service + "/" + ToBase64(MacOf({key}, kDigestPurpose));
}

std::string ToJson(const IdempotencyKeyRow& row) {
  json headers = json::array();
  for (const HttpHeader& header : row.answer.headers) {
    headers.push_back({header.name, header.value});
  }
  const json value = {
      {"state", NameOf(row.state)},       {"token", row.token},
      {"fingerprint", row.fingerprint},   {"ends", row.deadline_wall_micros},
      {"status", row.answer.status},      {"headers", headers},
      {"body", ToBase64(row.answer.body)}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<IdempotencyKeyRow> IdempotencyKeyRowFromJson(
    const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  try {
    IdempotencyKeyRow row;
    row.state = StateOf(value.at("state").get<std::string>());
    row.token = value.at("token").get<std::string>();
    const auto fingerprint = UnsignedOf(value.at("fingerprint"));
    const auto ends = UnsignedOf(value.at("ends"));
    const auto status = UnsignedOf(value.at("status"));
    if (!fingerprint || !ends || !status || *status > kMaxStatus) {
      return std::nullopt;
    }
    row.fingerprint = *fingerprint;
    row.deadline_wall_micros = *ends;
    row.answer.status = static_cast<int>(*status);
    for (const json& header : value.at("headers")) {
      row.answer.headers.push_back(
          {header.at(0).get<std::string>(), header.at(1).get<std::string>()});
    }
    const auto body = FromBase64(value.at("body").get<std::string>());
    if (!body) {
      return std::nullopt;
    }
    row.answer.body = *body;
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace pathcleat
