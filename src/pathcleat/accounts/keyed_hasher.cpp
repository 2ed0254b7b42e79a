// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/keyed_hasher.hpp"

#include <sodium/crypto_generichash.h>
#include <sodium/crypto_shorthash_siphash24.h>

#include <algorithm>

#include <utility>

namespace pathcleat {
namespace {

constexpr std::size_t kShortHexBytes = 4;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string ShortHex(const KeyedDigest& digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kHalfByte = 4;
  constexpr unsigned kLowHalf = 0xF;
  std::string text;
  for (std::size_t i = 0; i < kShortHexBytes; ++i) {
    text += kDigits[digest.at(i) >> kHalfByte];
    text += kDigits[digest.at(i) & kLowHalf];
  }
  return text;
}

void KeyedHasher::SetSecret(std::string_view secret) {
  static_assert(crypto_shorthash_siphashx24_KEYBYTES == sizeof(Secret));
  if (secret_) {
    return;
  }
  Secret derived{};
  crypto_generichash(
      derived.data(), derived.size(), Bytes(purpose_), purpose_.size(),
      Bytes(secret),
      std::min<std::size_t>(secret.size(), crypto_generichash_KEYBYTES_MAX));
  secret_ = derived;
  for (const auto& callback : std::exchange(ready_callbacks_, {})) {
    callback();
  }
}

void KeyedHasher::WhenReady(std::function<void()> callback) {
  if (secret_) {
    callback();
  } else {
    ready_callbacks_.push_back(std::move(callback));
  }
}

// SipHash is a keyed function whose results cannot be predicted without the
// secret, and takes a tenth of the time of a general hash on such a short text.
KeyedDigest KeyedHasher::Digest(std::string_view key) const {
  static_assert(crypto_shorthash_siphashx24_BYTES == sizeof(KeyedDigest));
  KeyedDigest digest{};
  crypto_shorthash_siphashx24(digest.data(), Bytes(key), key.size(),
                              secret_->data());
  return digest;
}

}  // namespace pathcleat
