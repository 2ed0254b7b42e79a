# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# pathcleat_layer(NAME LIBRARIES ...) adds the library pathcleat::NAME from
# src/pathcleat/NAME, and a test program from its *_test.cpp files.
function(pathcleat_layer name)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  set(dir ${PROJECT_SOURCE_DIR}/src/pathcleat/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS ${dir}/*_test.cpp)
  if(tests)
    list(REMOVE_ITEM sources ${tests})
  endif()
  add_library(pathcleat_${name} STATIC ${sources})
  add_library(pathcleat::${name} ALIAS pathcleat_${name})
  target_include_directories(pathcleat_${name}
                             PUBLIC ${PROJECT_SOURCE_DIR}/include
                             PRIVATE ${dir})
  target_compile_options(pathcleat_${name} PRIVATE -Wall -Wextra -Werror
                         # Boost.Accumulators' quantile feature triggers it.
                         $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>
                         # GCC 12 warns falsely of string joins (PR105651).
                         $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
  target_compile_definitions(pathcleat_${name} PUBLIC
                             PATHCLEAT_VERSION="${PROJECT_VERSION}")
  target_link_libraries(pathcleat_${name} PUBLIC ${ARG_LIBRARIES})
  if(PATHCLEAT_TESTS AND tests)
    add_executable(${name}_test ${tests})
    target_include_directories(${name}_test PRIVATE ${dir}
                               ${PROJECT_SOURCE_DIR}/src/pathcleat/testing)
    target_compile_definitions(${name}_test PRIVATE
                               PATHCLEAT_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    target_link_libraries(${name}_test PRIVATE pathcleat::${name}
                          PkgConfig::criterion rapidcheck)
    add_test(NAME ${name} COMMAND ${name}_test)
  endif()
endfunction()

# pathcleat_process_test(NAME SOURCE) adds the test program NAME_test, whose
# tests start the program pathcleat. They run one at a time and beside no other
# test, as they need the machine's memory, descriptors or time.
function(pathcleat_process_test name source)
  add_executable(${name}_test ${PROJECT_SOURCE_DIR}/src/pathcleat/${source})
  target_include_directories(${name}_test PRIVATE
                             ${PROJECT_SOURCE_DIR}/src/pathcleat/testing)
  target_compile_options(${name}_test PRIVATE -Wall -Wextra -Werror)
  target_compile_definitions(${name}_test PRIVATE
    PATHCLEAT_PROGRAM="$<TARGET_FILE:pathcleat_app>")
  target_link_libraries(${name}_test PRIVATE pathcleat_platform_stand_in
                                             PkgConfig::criterion)
  add_dependencies(${name}_test pathcleat_app)
  add_test(NAME ${name} COMMAND ${name}_test --jobs 1)
  set_tests_properties(${name} PROPERTIES RUN_SERIAL TRUE)
endfunction()
