// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/settings/load_deployment.hpp"

#include "json_reader.hpp"
#include "read_deployment.hpp"

namespace pathcleat {

LoadedDeployment LoadDeployment(const std::string& path) {
  LoadedDeployment loaded;
  const JsonFile file = ReadJsonFile(path, loaded.faults);
  if (file.root.is_object()) {
    JsonReader root(file, file.root, "", loaded.faults);
    loaded.deployment = ReadDeployment(root);
    root.CheckUnknownKeys();
  }
  return loaded;
}

}  // namespace pathcleat
