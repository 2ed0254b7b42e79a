// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/mac.hpp"

#include <sodium/crypto_auth.h>
#include <sodium/crypto_auth_hmacsha512256.h>
#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

#include <array>

namespace pathcleat {
namespace {

using Key = std::array<unsigned char, crypto_auth_KEYBYTES>;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

Key Digest(std::string_view text) {
  Key key{};
  crypto_generichash(key.data(), key.size(), Bytes(text), text.size(), nullptr,
                     0);
  return key;
}

}  // namespace

std::string AppendMac(std::string_view message, std::string_view key) {
  return std::string(message) + MacOf({message}, key);
}

std::optional<std::string_view> VerifyMac(std::string_view message_with_mac,
                                          std::string_view key) {
  if (message_with_mac.size() < crypto_auth_BYTES) {
    return std::nullopt;
  }
  const auto message =
      message_with_mac.substr(0, message_with_mac.size() - crypto_auth_BYTES);
  const auto mac = message_with_mac.substr(message.size());
  const int wrong = crypto_auth_verify(Bytes(mac), Bytes(message),
                                       message.size(), Digest(key).data());
  if (wrong != 0) {
    return std::nullopt;
  }
  return message;
}

std::string MacOf(std::initializer_list<std::string_view> parts,
                  std::string_view key) {
  const Key digest = Digest(key);
  crypto_auth_hmacsha512256_state state;
  crypto_auth_hmacsha512256_init(&state, digest.data(), digest.size());
  for (const std::string_view part : parts) {
    crypto_auth_hmacsha512256_update(&state, Bytes(part), part.size());
  }
  std::array<unsigned char, crypto_auth_hmacsha512256_BYTES> mac{};
  crypto_auth_hmacsha512256_final(&state, mac.data());
  return {reinterpret_cast<const char*>(mac.data()), mac.size()};
}

bool AreSecretsEqual(std::string_view a, std::string_view b) {
  const Key left = Digest(a);
  const Key right = Digest(b);
  return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace pathcleat
