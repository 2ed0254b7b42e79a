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

/// @brief What stands for a client account's key everywhere but in the store:
/// a keyed hash, equal on all hosts of a fleet. The key cannot be told from it.
/// @ingroup accounts
using KeyedDigest = std::array<std::uint8_t, 16>;

/// @brief The first few hexadecimal digits of a digest, for operators to tell
/// keys apart.
/// @ingroup accounts
std::string ShortHex(const KeyedDigest& digest);

/// @brief Turns keys into digests by a secret of the fleet. Looking digests up
/// tells by its time nothing of use: who does not know the secret cannot choose
/// a key whose digest begins like another's. Not thread-safe.
/// @ingroup accounts
class KeyedHasher {
 public:
  /// @param purpose keeps this use of the fleet's secret apart from others.
  explicit KeyedHasher(std::string_view purpose = "client account keys")
      : purpose_(purpose) {}

  /// @brief Whether the secret is known.
  bool IsReady() const { return secret_.has_value(); }

  /// @brief The secret is known now; later calls change nothing, as digests
  /// that are already in use must keep their meaning.
  void SetSecret(std::string_view secret);

  /// @brief Calls back at once if the secret is known, else when it is.
  void WhenReady(std::function<void()> callback);

  /// @brief The digest of a key. The secret must be known.
  KeyedDigest Digest(std::string_view key) const;

 private:
  using Secret = std::array<unsigned char, 16>;

  std::string purpose_;
  std::optional<Secret> secret_;
  std::vector<std::function<void()>> waiting_;
};

}  // namespace pathcleat
