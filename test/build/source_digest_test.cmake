# Expects that PROGRAM states the digest of the sources below ROOT.

execute_process(COMMAND ${PROGRAM} --version OUTPUT_VARIABLE PRINTED
  OUTPUT_STRIP_TRAILING_WHITESPACE COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${CMAKE_COMMAND} -P ${ROOT}/cmake/source_digest.cmake
  OUTPUT_VARIABLE DIGEST OUTPUT_STRIP_TRAILING_WHITESPACE COMMAND_ERROR_IS_FATAL ANY)
if(NOT DIGEST MATCHES "^[0-9a-f]+$" OR NOT PRINTED MATCHES " ${DIGEST}$")
  message(FATAL_ERROR "expected a version that ends with '${DIGEST}', got '${PRINTED}'")
endif()
