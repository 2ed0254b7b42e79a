// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "json_reader.hpp"
#include "pathcleat/settings/deployment.hpp"

namespace pathcleat {

/// @brief Reads and checks a deployment from the root object of its file.
Deployment ReadDeployment(JsonReader& reader);

}  // namespace pathcleat
