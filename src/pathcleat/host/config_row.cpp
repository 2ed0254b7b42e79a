// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/config_row.hpp"

#include <QByteArray>
#include <cstdio>

#include "pathcleat/wire/codec.hpp"

namespace pathcleat {

std::string ConfigRowName(std::uint64_t version) {
  char digits[21];
  std::snprintf(digits, sizeof digits, "%020llu",
                static_cast<unsigned long long>(version));
  return std::string(kConfigRowPrefix) + digits;
}

std::string ToRowValue(const ConfigChange& change) {
  ConfigUpdate update;
  update.changes.push_back(change);
  return QByteArray::fromStdString(Encode(PeerMessage(update)))
      .toHex()
      .toStdString();
}

std::optional<ConfigChange> ChangeFromRow(const std::string& value) {
  const std::string bytes =
      QByteArray::fromHex(QByteArray::fromStdString(value)).toStdString();
  const PeerMessage message =
      TryOr([&bytes] { return DecodePeer(bytes); },
            [](const Error&) { return PeerMessage(ConfigPull{}); });
  const auto* update = std::get_if<ConfigUpdate>(&message);
  if (update == nullptr || update->changes.size() != 1) {
    return std::nullopt;
  }
  return update->changes.front();
}

}  // namespace pathcleat
