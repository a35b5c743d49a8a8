# Installs into an empty folder, builds Examples/embed against what is there
# and compares what it prints. Arguments: BUILD, SOURCE, FLAGS, COMPILER,
# EXPECTED.
set(prefix ${BUILD}/Tests/Package/prefix)
set(embed ${BUILD}/Tests/Package/embed)
file(REMOVE_RECURSE ${prefix} ${embed})

function(run)
  execute_process(COMMAND ${ARGV} RESULT_VARIABLE code
    OUTPUT_VARIABLE output ERROR_VARIABLE output)
  if(NOT code EQUAL 0)
    message(FATAL_ERROR "${ARGV} ended with ${code}:\n${output}")
  endif()
endfunction()

run(${CMAKE_COMMAND} --install ${BUILD} --prefix ${prefix})
run(${CMAKE_COMMAND} -G Ninja -S ${SOURCE}/Examples/embed -B ${embed}
  -DCMAKE_PREFIX_PATH=${prefix} -DCMAKE_CXX_FLAGS=${FLAGS})
run(${CMAKE_COMMAND} --build ${embed})

execute_process(COMMAND ${embed}/embed OUTPUT_VARIABLE printed
  RESULT_VARIABLE code)
file(READ ${EXPECTED} expected)
if(NOT code EQUAL 0 OR NOT printed STREQUAL expected)
  message(FATAL_ERROR "embed ended with ${code} and printed:\n${printed}")
endif()
execute_process(COMMAND ${prefix}/bin/cactusrail version
  RESULT_VARIABLE code OUTPUT_QUIET)
if(NOT code EQUAL 0)
  message(FATAL_ERROR "The installed program ended with ${code}.")
endif()

# Every public header must be usable by itself, with nothing from the sources.
file(GLOB_RECURSE headers RELATIVE ${prefix}/include/cactusrail
  ${prefix}/include/cactusrail/*.h)
set(everything "")
foreach(header ${headers})
  string(APPEND everything "#include \"${header}\"\n")
endforeach()
file(WRITE ${embed}/headers.cxx "${everything}")
run(${COMPILER} -std=c++20 -fsyntax-only -Wall -Wextra -Werror
  -I${prefix}/include/cactusrail ${embed}/headers.cxx)
