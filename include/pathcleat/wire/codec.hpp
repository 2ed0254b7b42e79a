// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <string_view>

#include "pathcleat/core/error.hpp"
#include "pathcleat/wire/peer_message.hpp"
#include "pathcleat/wire/state_message.hpp"

namespace pathcleat {

/// @brief Bytes of a message (cereal's portable binary form).
/// @ingroup wire
std::string Encode(const StateMessage& message);
std::string Encode(const PeerMessage& message);
std::string Encode(const ConfigState& state);

/// @brief Message of bytes; kInvalid if they are not one.
/// @ingroup wire
Result<StateMessage> DecodeState(std::string_view bytes);
Result<PeerMessage> DecodePeer(std::string_view bytes);
Result<ConfigState> DecodeConfigState(std::string_view bytes);

}  // namespace pathcleat
