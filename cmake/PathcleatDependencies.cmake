# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Libraries from Debian 12; tools/install_packages.sh names the packages.
find_package(PkgConfig REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS url)
find_package(log4cplus REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(cereal REQUIRED)
find_package(docopt REQUIRED)
pkg_check_modules(sodium REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
if(PATHCLEAT_TESTS OR NOT DEFINED PATHCLEAT_TESTS)
  pkg_check_modules(criterion REQUIRED IMPORTED_TARGET criterion)
  find_package(rapidcheck REQUIRED)
endif()
