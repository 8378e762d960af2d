# Tests of cmake/sources.cmake with a project of one program, built the way
# the deploy file builds the daemon. Run as a script with MODULE, the path of the
# file under test, and FOLDER, which is replaced.

set(ROOT ${FOLDER}/project)
set(BUILD ${ROOT}/target)

# Lays out the sources of a commit whose program prints a text.
function(lay_out TEXT TIME)
  file(WRITE ${ROOT}/src/text.hpp "#define TEXT \"${TEXT}\"\n")
  file(WRITE ${ROOT}/src/main.cpp
    "#include \"text.hpp\"\n#include <cstdio>\nint main() { std::puts(TEXT); }\n")
  execute_process(COMMAND touch -d ${TIME} ${ROOT}/src/text.hpp ${ROOT}/src/main.cpp
    COMMAND_ERROR_IS_FATAL ANY)
endfunction()

# Writes the build description of a commit.
function(describe_build REFRESHES)
  set(REFRESH "include(${MODULE})\nrefresh_sources(\${CMAKE_SOURCE_DIR} \${CMAKE_BINARY_DIR} src)\n")
  if(NOT REFRESHES)
    set(REFRESH)
  endif()
  file(WRITE ${ROOT}/CMakeLists.txt
    "cmake_minimum_required(VERSION 3.24)\nproject(one LANGUAGES CXX)\n${REFRESH}"
    "add_executable(one src/main.cpp)\n")
endfunction()

# Builds, and fails unless the program prints a text.
function(expect_built TEXT CASE)
  execute_process(COMMAND ${CMAKE_COMMAND} -S ${ROOT} -B ${BUILD} -G Ninja
    OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
  execute_process(COMMAND ${CMAKE_COMMAND} --build ${BUILD}
    OUTPUT_VARIABLE OUTPUT COMMAND_ERROR_IS_FATAL ANY)
  execute_process(COMMAND ${BUILD}/one OUTPUT_VARIABLE PRINTED
    OUTPUT_STRIP_TRAILING_WHITESPACE COMMAND_ERROR_IS_FATAL ANY)
  if(NOT PRINTED STREQUAL TEXT)
    message(SEND_ERROR "${CASE}: expected a program that prints '${TEXT}', got '${PRINTED}'")
  endif()
  set(BUILD_OUTPUT "${OUTPUT}" PARENT_SCOPE)
endfunction()

file(REMOVE_RECURSE ${FOLDER})

# A build folder of a commit without the refresh kept the program of that commit.
describe_build(FALSE)
lay_out(earlier 2026-01-01T00:00:00)
expect_built(earlier "first build")
describe_build(TRUE)
lay_out(later 2026-01-02T00:00:00)
expect_built(later "build folder of a commit without the refresh")

lay_out(restored 2026-01-03T00:00:00)
expect_built(restored "sources with times before their objects")

lay_out(changed 2026-01-03T00:00:00)
expect_built(changed "other contents with the same time")

lay_out(unbuilt 2026-01-04T00:00:00)
execute_process(COMMAND ${CMAKE_COMMAND} -S ${ROOT} -B ${BUILD}
  OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
lay_out(unbuilt 2026-01-04T00:00:00)
expect_built(unbuilt "sources restored between configuration and build")

expect_built(unbuilt "unchanged sources")
if(NOT BUILD_OUTPUT MATCHES "no work to do")
  message(SEND_ERROR "unchanged sources: expected no compilation, got ${BUILD_OUTPUT}")
endif()
