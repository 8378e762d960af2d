# The digest of the sources that the daemon is built from. Run as a script, prints
# it, or writes it to OUTPUT as a source file.

include(${CMAKE_CURRENT_LIST_DIR}/sources.cmake)

# Digests the paths and contents of the C++ sources below folders.
function(digest_sources RESULT ROOT)
  list_sources(SOURCES ${ROOT} ${ARGN})
  set(LINES)
  foreach(SOURCE IN LISTS SOURCES)
    file(SHA256 ${ROOT}/${SOURCE} DIGEST)
    string(APPEND LINES "${DIGEST} ${SOURCE}\n")
  endforeach()
  string(SHA256 DIGEST "${LINES}")
  string(SUBSTRING ${DIGEST} 0 12 DIGEST)
  set(${RESULT} ${DIGEST} PARENT_SCOPE)
endfunction()

cmake_path(GET CMAKE_CURRENT_LIST_DIR PARENT_PATH ROOT)
digest_sources(DIGEST ${ROOT} ${DAEMON_FOLDERS})
if(OUTPUT)
  configure_file(${CMAKE_CURRENT_LIST_DIR}/source_digest.cpp.in ${OUTPUT} @ONLY)
else()
  execute_process(COMMAND ${CMAKE_COMMAND} -E echo ${DIGEST})
endif()
