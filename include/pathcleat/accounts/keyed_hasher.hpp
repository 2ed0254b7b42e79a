// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pathcleat {

/// @brief Keyed hash of a client account's key, used instead of the key
/// everywhere but in the store. All hosts of a fleet compute the same digest
/// for a key, and the key cannot be derived from the digest.
/// @ingroup accounts
using KeyedDigest = std::array<std::uint8_t, 16>;

/// @brief The first 8 hexadecimal digits of a digest, by which operators can
/// distinguish keys.
/// @ingroup accounts
std::string ShortHex(const KeyedDigest& digest);

/// @brief Computes digests of keys with a secret of the fleet. A caller cannot
/// find a key by measuring how long the look-up of its digest takes: without
/// the secret nobody can choose a key whose digest begins like another key's
/// digest. Not thread-safe.
/// @ingroup accounts
class KeyedHasher {
 public:
  /// @param purpose separates this use of the fleet's secret from other uses:
  /// the same text has a different digest for each purpose.
  explicit KeyedHasher(std::string_view purpose = "client account keys")
      : purpose_(purpose) {}

  /// @brief Whether the secret has been set.
  bool IsReady() const { return secret_.has_value(); }

  /// @brief Sets the secret. Later calls change nothing, as digests that are
  /// already in use must stay valid.
  void SetSecret(std::string_view secret);

  /// @brief Runs the callback at once if the secret has been set, otherwise
  /// when SetSecret is called.
  void WhenReady(std::function<void()> callback);

  /// @brief The digest of a key. The secret must have been set.
  KeyedDigest Digest(std::string_view key) const;

 private:
  using Secret = std::array<unsigned char, 16>;

  std::string purpose_;
  std::optional<Secret> secret_;
  std::vector<std::function<void()>> ready_callbacks_;
};

}  // namespace pathcleat
